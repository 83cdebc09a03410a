"""A pool's owner: admission, placement, pins and queues of its runners."""

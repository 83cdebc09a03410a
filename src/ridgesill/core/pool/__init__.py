"""Pool owners: admission, placement, pins and queues for runners."""

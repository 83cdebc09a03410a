"""The replicated log: elections, replication, snapshots, voter changes."""

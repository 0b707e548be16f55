//! Hosts the replicas of many consensus groups in one process, between disk and network

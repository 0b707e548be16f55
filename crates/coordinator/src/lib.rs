//! The coordinator: configuration, members, placement of shards and the list of runners, agreed upon

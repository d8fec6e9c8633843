"""Who is primary of each database and service: promotions, fencing, proxy ids, and changes of the shard map."""

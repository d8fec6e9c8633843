"""The connection-pooling proxy: client sessions, pooled links to backends, routing and freshness of reads."""

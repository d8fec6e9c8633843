"""The proxy of the platform's clients: sessions, links, routing, freshness of reads."""

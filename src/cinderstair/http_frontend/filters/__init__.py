"""The filter chain of the HTTP proxy: each filter either answers a request or passes it to the next one."""

"""The HTTP proxy: serves clients' sessions over HTTP and forwards their statements to backends."""

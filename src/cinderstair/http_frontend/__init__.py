"""The proxy of the product's own HTTP interface."""

"""The pitch: what every trader in the market stands on. Context, error kinds, records, net and disk."""

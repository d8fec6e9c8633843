"""Constants that several steps of the pooler share."""

from cinderstair.pooler.reply import State

STATE_WORDS = {State.idle: "I", State.open: "T", State.failed: "E"}

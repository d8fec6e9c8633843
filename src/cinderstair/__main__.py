"""One program; the role is a subcommand."""

import sys

from cleo.application import Application
from cleo.exceptions import CleoError

from . import VERSION
from .cli.checkverb import CheckVerb, FormatVerb
from .cli.controlverb import GuildhallVerb, ShardsVerb
from .cli.operatorverb import (
    CountersVerb,
    DrainVerb,
    FetchVerb,
    OverrideVerb,
    ReplaceVaultVerb,
    StatusVerb,
    SubmitVerb,
)
from .cli.roleverb import StallVerb, VaultVerb
from .cli.shardverbs import ShardsAbandonVerb, ShardsBeginVerb, ShardsPlanVerb, ShardsWatchVerb
from .cli.simulateverb import SimulateVerb

USAGE = 2


def main() -> None:
    app = Application("cinderstair", VERSION)
    for verb in (
        StallVerb,
        VaultVerb,
        SubmitVerb,
        FetchVerb,
        StatusVerb,
        CountersVerb,
        DrainVerb,
        OverrideVerb,
        ReplaceVaultVerb,
        CheckVerb,
        FormatVerb,
        SimulateVerb,
        ShardsVerb,
        ShardsPlanVerb,
        ShardsBeginVerb,
        ShardsWatchVerb,
        ShardsAbandonVerb,
        GuildhallVerb,
    ):
        app.add(verb())
    app.auto_exits(False)
    app.catch_exceptions(False)
    # why: asked for help alone, cleo explains its list verb; an operator wants the list itself
    if sys.argv[1:] in (["--help"], ["-h"]):
        sys.argv[1:] = ["list"]
    try:
        code = app.run()
    except CleoError as error:
        print(f"{error}\nSee 'cinderstair --help', or 'cinderstair VERB --help'.", file=sys.stderr)
        code = USAGE
    except KeyboardInterrupt:
        code = 130
    sys.exit(code)


if __name__ == "__main__":
    main()

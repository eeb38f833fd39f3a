"""
Orders
======

Commands about orders that may not be repeated.
"""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa
import msgspec

from damasklead.claims import (
    CLAIMS_TABLE,
    ClaimState,
    decode_claim,
    make_claim_key,
    resolve,
)
from damasklead.commands import (
    DONE,
    FAILED,
    Json,
    Where,
    Who,
    new_event,
    no_platform,
    scan,
    user_name,
)
from damasklead.ids import (
    WorkspaceId,
)
from damasklead.protocol import run
from damasklead.stores.http import make_http_platform

__all__ = ["OrdersList", "OrdersResolve", "Orders"]


@cappa.command(name="list", help="List claims of orders.")
@dataclass(kw_only=True)
class OrdersList:
    """By default those whose outcome is open."""

    platform: Where
    all: Annotated[bool, cappa.Arg(long="--all", help="List settled ones too.")] = False
    json: Json = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        claims = scan(
            make_http_platform(address=self.platform), CLAIMS_TABLE, decode_claim
        )
        if claims is None:
            return no_platform()
        open_states = (ClaimState.CLAIMED, ClaimState.FAILED)
        chosen = [claim for claim in claims if self.all or claim.state in open_states]
        if self.json:
            print(msgspec.json.encode(chosen).decode())
            return DONE
        for claim in chosen:
            print(
                f"{claim.workspace}/{claim.key}  {claim.state.value}  "
                f"held by {claim.holder}"
            )
        return DONE


@cappa.command(name="resolve", help="Settle an order whose outcome is not known.")
@dataclass(kw_only=True)
class OrdersResolve:
    """After looking at the service's own records, say whether the order ran."""

    workspace: str
    key: str
    outcome: Annotated[
        Literal["ran", "not-run"], cappa.Arg(help="What the records say.")
    ]
    platform: Where
    who: Who = ""
    force: Annotated[
        bool,
        cappa.Arg(long="--force", help="Settle a claim whose attempt may still run."),
    ] = False

    def __call__(self) -> int:
        """Run the command; returns the exit code."""
        platform = make_http_platform(address=self.platform)
        who = self.who or user_name()
        key = make_claim_key(WorkspaceId(self.workspace), self.key)
        event = new_event(
            who, "resolve-order", key, before="unknown", after=self.outcome
        )
        steps = resolve(
            key, executed=self.outcome == "ran", event=event, force=self.force
        )
        problem = run(steps, platform)
        if problem:
            print(f"failed: {problem}")
            return FAILED
        print(f"{key} is settled as {self.outcome}")
        return DONE


@cappa.command(
    name="orders", help="List orders and settle those whose outcome is not known."
)
@dataclass(kw_only=True)
class Orders:
    """Orders that may not be repeated."""

    command: cappa.Subcommands[OrdersList | OrdersResolve]

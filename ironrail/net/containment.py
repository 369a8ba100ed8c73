"""Keeps an unexpected exception of one step from ending what is done around it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


def run_contained(message: str, step: Callable[..., object], *arguments: object) -> bool:
    """Call a step, and return whether it raised no exception.

    An exception is passed to the event loop's exception handler, which counts and logs it.
    """
    try:
        step(*arguments)
    except Exception as error:
        context = {"message": message, "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)
        return False
    return True

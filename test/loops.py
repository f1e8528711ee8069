"""Ends event loops that tests run by themselves."""

import asyncio


def end_loop(loop):
    """Cancel what still runs on an event loop, and close it.

    A task that is collected later would report its error in the midst of another test.
    """
    loop.run_until_complete(_cancel_others())
    loop.close()


async def _cancel_others():
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)

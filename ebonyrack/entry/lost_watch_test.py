"""A response of the store that never comes, on a connection that stays open."""

import asyncio


async def test_lost_response_to_a_watch_hides_no_version_past_the_limit(system):
    # One response is lost, while the store answers all other calls.
    proxy = system.proxies[0].proxy
    limit_s = proxy.settings.apply_limit_s
    system.service.faults.lose_watch_answers.add("op/config")
    async with asyncio.timeout(limit_s):
        while system.service.faults.lose_watch_answers:
            document = {**system.document, "version": system.document["version"] + 1}
            await system.publish_document(document)
            await asyncio.sleep(0.05)
    async with asyncio.timeout(limit_s):
        await system.change_document({**document, "version": document["version"] + 1})

// Turns of news in messages of bounded size: what was not told for longest goes first, however often the rest changes.
//
// Ordering by freshness instead starves: where more items change than a message holds, the same ones are always the freshest.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace chicoryrouter {

struct transmission_state
{
    std::uint32_t sendCount = 0; // the present state was told so often; set to zero when it changes
    std::uint64_t turn = 0;      // when any state of it was last told, in the teller's own count; 0: never
};

// Of `items`, up to `most` that were told less than `timesEach` times, and counts them as told. `turn` is the teller's count.
template<typename Item, typename StateOf>
std::vector<Item *> leastRecentlySent(std::vector<Item *> items, std::size_t maxItems, std::uint32_t maxSends, std::uint64_t &sendCounter, StateOf stateOf)
{
    std::erase_if(items, [&](Item *item) { return stateOf(*item).sendCount >= maxSends; });
    std::stable_sort(items.begin(), items.end(), [&](Item *a, Item *b) { return stateOf(*a).turn < stateOf(*b).turn; });
    items.resize(std::min(items.size(), maxItems));
    for (Item *item : items) {
        ++stateOf(*item).sendCount;
        stateOf(*item).turn = ++sendCounter;
    }
    return items;
}

} // namespace chicoryrouter

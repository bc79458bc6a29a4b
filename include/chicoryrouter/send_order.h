// Selects items for messages of bounded size: the least recently sent items go first, however often the others change.
//
// Sending the most recently changed items first would starve the rest: when more items change than a message holds, the same items would
// always go first.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace chicoryrouter {

// When and how often one item was sent.
struct transmission_state
{
    std::uint32_t sendCount = 0; // how often the current value was sent; set to 0 by the owner when the value changes
    std::uint64_t turn = 0;      // position of the item's last send in the sequence of all sends, with any value; 0: never sent
};

// Returns up to `maxItems` of the items that were sent fewer than `maxSends` times, and counts them as sent.
// `sendCounter` numbers the sends: it belongs to the caller and grows by one per item sent. `transmissionOf` returns the transmission_state
// of an item by reference.
template<typename Item, typename TransmissionOf>
std::vector<Item *> leastRecentlySent(
    std::vector<Item *> items, std::size_t maxItems, std::uint32_t maxSends, std::uint64_t &sendCounter, TransmissionOf transmissionOf)
{
    std::erase_if(items, [&](Item *item) { return transmissionOf(*item).sendCount >= maxSends; });
    std::stable_sort(items.begin(), items.end(), [&](Item *a, Item *b) { return transmissionOf(*a).turn < transmissionOf(*b).turn; });
    items.resize(std::min(items.size(), maxItems));
    for (Item *item : items) {
        ++transmissionOf(*item).sendCount;
        transmissionOf(*item).turn = ++sendCounter;
    }
    return items;
}

} // namespace chicoryrouter

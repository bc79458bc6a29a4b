// Counts changes of endpoints' use by kind and second.
#include "chicoryrouter/use_changes.h"

namespace chicoryrouter {

namespace {

using namespace std::chrono_literals;

constexpr duration countedFor = 1s;
constexpr std::uint32_t linesPerKind = 3; // per kind within countedFor

} // namespace

bool use_changes::add(const use_change &change, time_point now)
{
    counted &kind = m_kinds.try_emplace(change, counted{now + countedFor, 0, 0}).first->second;
    const bool line = kind.lines < linesPerKind;
    kind.lines += line ? 1 : 0;
    kind.left += line ? 0 : 1;
    return line;
}

std::vector<use_summary> use_changes::takeDue(time_point now)
{
    std::vector<use_summary> due;
    for (auto item = m_kinds.begin(); item != m_kinds.end();) {
        const bool over = now >= item->second.endsAt;
        if (over && item->second.left > 0) {
            due.push_back({item->first, item->second.left});
        }
        item = over ? m_kinds.erase(item) : std::next(item);
    }
    return due;
}

} // namespace chicoryrouter

// Who may hold how much of a bounded number of bytes.
#include "chicoryrouter/byte_pool.h"

#include <algorithm>

namespace chicoryrouter {

bool mayHold(const byte_pool_limits &limits, std::size_t held, std::size_t own, std::size_t wanted)
{
    const std::size_t ofOthers = held - std::min(own, held);
    const std::size_t left = limits.total - std::min(ofOthers, limits.total);
    const bool leavesAsMuch = wanted <= left / 2; // as much stays free as this holder has
    return wanted <= limits.always || leavesAsMuch;
}

bool byte_share::mayHave(std::size_t bytes) const
{
    return m_pool == nullptr || bytes <= m_bytes || mayHold(m_pool->limits(), m_pool->held(), m_bytes, bytes);
}

bool byte_share::tryGrowTo(std::size_t bytes)
{
    if (!mayHave(bytes)) {
        countRefusal();
        return false;
    }
    set(std::max(bytes, m_bytes));
    return true;
}

void byte_share::set(std::size_t bytes)
{
    if (m_pool != nullptr) {
        m_pool->m_held.fetch_add(bytes - m_bytes, std::memory_order_relaxed); // wraps around where the share shrinks
    }
    m_bytes = bytes;
}

void byte_share::countRefusal()
{
    if (m_pool != nullptr) {
        m_pool->countRefusal();
    }
}

} // namespace chicoryrouter

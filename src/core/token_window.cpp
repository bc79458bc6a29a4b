// Sums spending in slots and drops the slots that have left the window.
#include "chicoryrouter/token_window.h"

#include <algorithm>

namespace chicoryrouter {

namespace {
constexpr std::int64_t slotsPerWindow = 64; // a slot's spending counts until its end leaves the window, so at most this part of a window too long
} // namespace

token_window::token_window(duration length, time_point start)
    : m_length(length)
    , m_start(start)
{
}

std::int64_t token_window::update(double perSecond, double burst, std::int64_t spent, time_point now)
{
    if (m_slots.empty() || m_slots.back().endsAt <= now) {
        m_slots.push_back({now + m_length / slotsPerWindow, 0});
    }
    m_slots.back().tokens += spent;
    m_sum += spent;
    while (m_slots.front().endsAt + m_length <= now) {
        m_sum -= m_slots.front().tokens;
        m_slots.pop_front();
    }
    const double seconds = std::chrono::duration<double>(std::clamp(now - m_start, duration{}, m_length)).count();
    return static_cast<std::int64_t>(perSecond * seconds + burst) - m_sum;
}

} // namespace chicoryrouter

// The tokens that a client account may spend within a sliding window: its rate times the window's length, plus its burst.
//
// A token bucket with the same rate and burst refuses more: it refills the burst only while the account stays below its rate, whereas a
// window's limit includes the burst at all times. Use it where the limit is promised by window, for accounts whose demand stays above the
// rate but within the window's limit.
// After its start the limit grows from the burst to its full size within one window, since what was spent before the start is unknown.
// No clock or thread; used on the control strand only.
#pragma once

#include "chicoryrouter/time.h"

#include <cstdint>
#include <deque>

namespace chicoryrouter {

class token_window
{
public:
    token_window(duration length, time_point start);

    // Adds `spent` tokens at `now` and returns the tokens that may still be spent; below zero if more were spent than the limit allows.
    std::int64_t update(double perSecond, double burst, std::int64_t spent, time_point now);

private:
    struct slot
    {
        time_point endsAt{}; // spending up to this moment is summed here
        std::int64_t tokens = 0;
    };

    duration m_length;
    time_point m_start;
    std::deque<slot> m_slots; // oldest first; all of them within the window
    std::int64_t m_sum = 0;   // of the tokens in m_slots
};

} // namespace chicoryrouter

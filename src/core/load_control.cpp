// The mode of load control and what switches it on.
#include "chicoryrouter/load_control.h"

namespace chicoryrouter {

void load_control::setMode(load_control_mode mode)
{
    m_mode = mode;
    m_on = mode == load_control_mode::On;
}

void load_control::onStatedPace()
{
    if (m_mode == load_control_mode::Auto) {
        m_on.store(true, std::memory_order_relaxed);
    }
}

} // namespace chicoryrouter

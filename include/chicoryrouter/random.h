// Random numbers for the core. src/shell seeds the generator from the system, tests use a fixed seed.
#pragma once

#include "chicoryrouter/hash.h"

#include <concepts>
#include <cstdint>

namespace chicoryrouter {

template<typename T>
concept random_source = requires(T &source)
{
    {
        source.next()
        } -> std::same_as<std::uint64_t>; // 64 independent random bits
};

// A small generator with a seed (splitmix64). Not cryptographic.
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15ULL;
        return mixBits(m_state);
    }

private:
    std::uint64_t m_state;
};

namespace detail {
__extension__ using wide_uint = unsigned __int128;
}

// Uniform number in [0, bound). `bound` must be above zero. Multiplies instead of using `%`, to avoid a division on the request path.
template<random_source Random>
std::uint64_t uniformBelow(Random &random, std::uint64_t bound)
{
    return static_cast<std::uint64_t>((static_cast<detail::wide_uint>(random.next()) * bound) >> 64U);
}

// True with the given probability (0 to 1).
template<random_source Random>
bool chance(Random &random, double probability)
{
    return static_cast<double>(random.next() >> 11U) * 0x1.0p-53 < probability;
}

} // namespace chicoryrouter

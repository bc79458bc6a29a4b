// Hashes for rendezvous hashing and prefix keys. All daemons must compute the same values. Not cryptographic.
#pragma once

#include <cstdint>
#include <string_view>

namespace chicoryrouter {

// Finalizer of splitmix64: every input bit affects all output bits.
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// Rendezvous (highest random weight) hashing: `key` belongs to the node with the highest weight.
constexpr std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t node)
{
    return mixBits(key ^ (node * 0x9e3779b97f4a7c15ULL));
}

std::uint64_t hashBytes(std::string_view bytes);  // XXH3, 64 bits; the same on every machine
std::uint64_t prefixKey(std::string_view prompt); // hash of the prompt's leading block; 0 if the prompt is shorter than a block
std::string_view::size_type prefixBlockSize();    // size of the leading block, in bytes

} // namespace chicoryrouter

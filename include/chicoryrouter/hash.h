// Hashes that every daemon must compute alike: rendezvous ranks and prefix keys. None of them is for secrets.
#pragma once

#include <cstdint>
#include <string_view>

namespace chicoryrouter {

// Finalizer of splitmix64: spreads every input bit over the whole word.
constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

// Rendezvous weight of `node` for `key`; the highest weight wins.
constexpr std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t node)
{
    return mixBits(key ^ (node * 0x9e3779b97f4a7c15ULL));
}

std::uint64_t hashBytes(std::string_view bytes);  // XXH3, same on every machine
std::uint64_t prefixKey(std::string_view prompt); // key of a prompt's leading block; 0 when it is too short to share a prefix
std::string_view::size_type prefixBlockSize();    // bytes in the leading block

} // namespace chicoryrouter

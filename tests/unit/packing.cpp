// Bytes packed for the way between daemons.
#include "chicoryrouter/compression.h"

#include "chicoryrouter/random.h"

#include <criterion/criterion.h>

using namespace chicoryrouter;

Test(packing, what_is_packed_comes_back_and_nothing_else_does)
{
    std::string text;
    for (int i = 0; i < 3000; ++i) {
        text += "route " + std::to_string(i) + "\n";
    }
    const std::string packed = compressBytes(text);
    cr_assert_lt(packed.size() * 4, text.size());
    cr_assert(decompressBytes(packed, text.size()) == text);
    cr_assert(decompressBytes(compressBytes(""), 0) == "");
    cr_assert_not(decompressBytes(packed, text.size() - 1), "larger than the receiver allows");
    cr_assert_not(decompressBytes("", 100));
    cr_assert_not(decompressBytes(text, text.size()));
    seeded_random random(3);
    for (int i = 0; i < 2000; ++i) {
        std::string broken = packed.substr(0, uniformBelow(random, packed.size() + 1));
        if (!broken.empty()) {
            broken[uniformBelow(random, broken.size())] = static_cast<char>(uniformBelow(random, 256));
        }
        decompressBytes(broken, text.size()); // neither throws nor takes more than it may
    }
}

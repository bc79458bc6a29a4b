// Chooses the order and the method of stream moves.
#include "chicoryrouter/stream_moves.h"

#include <algorithm>

namespace chicoryrouter {

namespace {

double transferSeconds(const stream_cost &stream, const transfer_rates &rates)
{
    return std::chrono::duration<double>(rates.transferOverhead).count() + stream.tokens * rates.bytesPerToken / rates.bytesPerSecond;
}

} // namespace

std::size_t kvBytes(std::uint32_t tokens, const transfer_rates &rates)
{
    return static_cast<std::size_t>(tokens * rates.bytesPerToken);
}

void planStreamMoves(std::vector<stream_cost> &streams, time_point reclaimDeadline, time_point now, const transfer_rates &rates)
{
    const auto savedPerSecond = [&](const stream_cost &stream) {
        return stream.tokens / transferSeconds(stream, rates);
    };
    std::sort(streams.begin(), streams.end(), [&](const stream_cost &a, const stream_cost &b) {
        const double savedByA = savedPerSecond(a);
        const double savedByB = savedPerSecond(b);
        return savedByA != savedByB ? savedByA > savedByB : a.requestId < b.requestId;
    });
    double secondsLeft = reclaimDeadline == noDeadline ? 1e9 : std::chrono::duration<double>(reclaimDeadline - now - rates.margin).count();
    for (stream_cost &stream : streams) {
        const double needed = transferSeconds(stream, rates);
        const bool fits = needed <= secondsLeft;
        stream.method = fits ? move_method::TransferKv : move_method::Resume;
        secondsLeft -= fits ? needed : 0.0;
    }
    std::stable_partition(streams.begin(), streams.end(), [](const stream_cost &stream) { return stream.method == move_method::TransferKv; });
}

} // namespace chicoryrouter

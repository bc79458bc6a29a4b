// What endpoints said of their own leaving, told from daemon to daemon: those that are cut off from the platform learn it from no one else.
//
// Index
//   reports and messages . departure_reports
//
// No clock, socket or thread. Messages carry ages, as the clocks of two instances may differ.
#pragma once

#include "chicoryrouter/send_order.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

// An endpoint that said in an answer that it leaves.
struct departure
{
    std::string endpointId;
    std::uint64_t incarnation = 0; // instance_record::incarnation; 0: unknown
    time_point saidAt{};
};

// An endpoint that leaves has ended long before this. It bounds how long a mark can outlive its reason if the incarnation is unknown.
inline constexpr duration departureMemory = std::chrono::minutes(5);

std::string encodeDepartures(const std::vector<departure> &items, time_point now);
std::optional<std::vector<departure>> decodeDepartures(std::string_view bytes, time_point now); // nullopt when it is not such a message

// The departures that this daemon was told by endpoints, and how often it has passed each on.
class departure_reports
{
public:
    void add(departure item, time_point now);
    std::vector<std::string> datagrams(std::size_t maxBytes, time_point now); // to be sent to all daemons; empty while there is nothing to tell

private:
    struct report
    {
        departure content;
        transmission_state transmission;
    };

    std::map<std::string, report> m_reports; // by endpoint id
    std::uint64_t m_sendCounter = 0;         // for leastRecentlySent()
};

} // namespace chicoryrouter

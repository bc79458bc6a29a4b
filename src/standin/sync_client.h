// A blocking caller for demo, command line, tests and benchmarks: one call at a time, with its own thread of I/O.
#pragma once

#include "shell/http.h"

#include <boost/asio/io_context.hpp>

namespace chicoryrouter {

class sync_client
{
public:
    http_response call(const address &where, http_call request, duration within = std::chrono::seconds(30)); // throws http_failure

    // The same, but an answer that is cut short is returned as far as it came. `stopAfter` bytes of body the caller hangs up itself.
    struct partial_response
    {
        http_response response;
        bool complete = false;
    };
    partial_response callAllowingPartial(const address &where, http_call request, std::size_t stopAfter = SIZE_MAX, duration within = std::chrono::seconds(30));

private:
    boost::asio::io_context m_context;
};

http_headers bearer(const std::string &token);         // the Authorization header
std::string streamedText(const std::string &events);   // all token texts of an event stream
std::size_t streamedTokens(const std::string &events); // whole events only
bool streamEnded(const std::string &events);           // it closed with its [DONE]

} // namespace chicoryrouter

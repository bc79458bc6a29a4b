// An Asio completion token for co_await that stores the error in a variable instead of throwing it.
#pragma once

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace chicoryrouter {

inline boost::asio::redirect_error_t<boost::asio::use_awaitable_t<>> storeErrorIn(boost::system::error_code &code)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, code);
}

} // namespace chicoryrouter

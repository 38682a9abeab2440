// Includes Asio and its coroutine support in an order that compiles.
//
// With g++ 12, Boost 1.74 needs <utility> before any Asio header. Files that
// define coroutines include this header first.
//
//   Task<int> CountPeers(Executor aExecutor);
//
// A process has one io_context, run by one thread. Objects that hold an
// Executor are used from that thread only.

#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanweir {

namespace asio = boost::asio;

// A coroutine that returns one value.
template<class Value>
using Task = boost::asio::awaitable<Value>;

using Executor = boost::asio::any_io_executor;

} // namespace rattanweir

// Asio with coroutines, included in the one order that compiles.
//
// Boost 1.74 with g++ 12 needs <utility> before any Asio header. Files that
// write coroutines include this header first.
//
//   Task<int> Answer(Executor aExecutor);
//
// Everything runs on one thread: a process has one io_context, and objects
// that take an Executor are only used from its thread.

#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rattanweir {

namespace asio = boost::asio;

// A coroutine that gives one value.
template<class Value>
using Task = boost::asio::awaitable<Value>;

using Executor = boost::asio::any_io_executor;

} // namespace rattanweir

// Starts a task that nobody waits for.
//
//   Spawn(context, [this] { return TickUntilStopped(); });
//
// What the task throws leaves the context's run(): it is a fault of the
// program.

#pragma once

#include "rattanweir/base/asio/asio.h"

#include <boost/asio/io_context.hpp>

#include <exception>
#include <utility>

namespace rattanweir {

template<class Function>
void
Spawn(asio::io_context& aContext, Function aFunction)
{
  asio::co_spawn(
    aContext, std::move(aFunction), [](const std::exception_ptr& aError) {
      if (aError) {
        std::rethrow_exception(aError);
      }
    });
}

} // namespace rattanweir

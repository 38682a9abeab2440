// Starts a detached coroutine.
//
//   Spawn(context, [this] { return TickUntilStopped(); });
//
// An exception thrown by the coroutine propagates out of the context's run():
// it indicates a programming error.

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

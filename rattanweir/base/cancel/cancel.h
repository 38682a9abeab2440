// Cancels a request in flight with a reason.
//
// Each request has one CancelSource. Code that waits on behalf of the request
// registers a callback that ends the wait. The first reason is kept.
//
//   CancelSource cancel;
//   const auto registration = cancel.OnCancel([&] { socket.cancel(); });
//   cancel.Cancel(ResultCode::KeyWithdrawn);
//   assert(cancel.Reason() == ResultCode::KeyWithdrawn);
//
// A cause that is reported by an event, such as a closed connection, is noticed
// only when the event loop gets to it. Code that is about to start work for the
// request calls CheckNow, which looks for the cause itself.
//
// Not thread-safe. The callbacks run inside Cancel, in the order of
// registration; they must not throw.

#pragma once

#include "rattanweir/base/result/result_code.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace rattanweir {

class CancelSource
{
public:
  // Unregisters the callback when destroyed. May outlive the source.
  class [[nodiscard]] Registration
  {
  public:
    Registration() = default;
    Registration(Registration&&) noexcept = default;
    Registration& operator=(Registration&& aOther) noexcept;
    ~Registration();

  private:
    friend class CancelSource;
    using Functions = std::map<std::uint64_t, std::function<void()>>;
    Registration(const std::shared_ptr<Functions>& aFunctions,
                 std::uint64_t aId);
    void Reset();

    std::weak_ptr<Functions> m_functions;
    std::uint64_t m_id = 0;
  };

  CancelSource();
  CancelSource(const CancelSource&) = delete;
  CancelSource& operator=(const CancelSource&) = delete;

  // Cancels the request with this reason. Only the first call has an effect.
  void Cancel(ResultCode aReason);

  // Returns the reason of the cancellation, or nullopt if not cancelled.
  std::optional<ResultCode> Reason() const { return m_reason; }

  // Sets a function that looks for a cause of cancellation and calls Cancel if
  // there is one. An empty function removes it.
  void SetCheck(std::function<void()> aCheck);

  // Looks for a cause of cancellation now, then returns the same as Reason.
  std::optional<ResultCode> CheckNow();

  // Calls `aFunction` once on Cancel, or immediately if already cancelled.
  Registration OnCancel(std::function<void()> aFunction);

private:
  std::shared_ptr<Registration::Functions> m_functions;
  std::optional<ResultCode> m_reason;
  std::function<void()> m_check;
  std::uint64_t m_nextId = 1;
};

} // namespace rattanweir

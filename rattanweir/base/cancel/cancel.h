// Ends work in flight for a stated reason.
//
// One CancelSource stands for one request. What waits on the request's behalf
// registers a function that wakes it; the first reason given stays.
//
//   CancelSource cancel;
//   const auto registration = cancel.OnCancel([&] { socket.cancel(); });
//   cancel.Cancel(ResultCode::KeyWithdrawn);
//   assert(cancel.Reason() == ResultCode::KeyWithdrawn);
//
// Not safe for use from several threads at once. The functions run inside
// Cancel, in the order of registration; they must not throw.

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
  // Takes the function back when destroyed. May outlive the source.
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

  // Ends the work with this reason. Only the first call has an effect.
  void Cancel(ResultCode aReason);

  // The reason given, or nothing while the work goes on.
  std::optional<ResultCode> Reason() const { return m_reason; }

  // Runs `aFunction` once on Cancel, at once if that has already happened.
  Registration OnCancel(std::function<void()> aFunction);

private:
  std::shared_ptr<Registration::Functions> m_functions;
  std::optional<ResultCode> m_reason;
  std::uint64_t m_nextId = 1;
};

} // namespace rattanweir

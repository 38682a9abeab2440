// The requests that this process has in flight.
//
//   InFlightRequests running;
//   auto entry = running.Add({ .m_request = id, .m_key = key, ... }, cancel);
//   entry.MarkDispatched();
//   running.CancelWithdrawn([&](const InFlightRequest& aRequest) { ... });
//
// When keys are withdrawn, requests in flight under them end; a non-idempotent
// one that was dispatched already is left to finish, since its caller must
// learn what became of it. For one thread.

#pragma once

#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/ids/ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace rattanweir {

struct InFlightRequest
{
  RequestId m_request;
  RouteId m_route;
  // Empty on routes open to all, as is the account.
  std::optional<KeyId> m_key;
  ClientAccountId m_clientAccount;
  bool m_isIdempotent = false;
};

class InFlightRequests
{
public:
  // Takes the request out when destroyed. The registry must outlive it.
  class [[nodiscard]] Registration
  {
  public:
    Registration(InFlightRequests& aOwner, std::uint64_t aId);
    Registration(Registration&& aOther) noexcept;
    Registration& operator=(Registration&&) = delete;
    ~Registration();

    // A first byte may go to a backend server or peer from now on.
    void MarkDispatched();

  private:
    InFlightRequests* m_owner;
    std::uint64_t m_id;
  };

  // `aCancel` must outlive the registration.
  Registration Add(InFlightRequest aRequest, CancelSource& aCancel);

  std::size_t Count() const { return m_running.size(); }

  // Cancels with KeyWithdrawn each request that `aIsGranted` denies, except a
  // non-idempotent one that was dispatched.
  void CancelWithdrawn(
    const std::function<bool(const InFlightRequest&)>& aIsGranted);

  // Cancels every request: the time for a graceful shutdown is over.
  void CancelAll(ResultCode aReason);

private:
  struct Entry
  {
    InFlightRequest m_request;
    CancelSource* m_cancel = nullptr;
    bool m_isDispatched = false;
  };

  std::map<std::uint64_t, Entry> m_running;
  std::uint64_t m_nextId = 1;
};

} // namespace rattanweir

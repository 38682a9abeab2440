// Registry of the requests that this process has in flight. Used by the
// product's own interface.
//
//   InFlightRequests requests;
//   auto registration = requests.Add({ .m_request = id, .m_key = key, ... },
//                                    cancel);
//   registration.MarkDispatched();
//   requests.CancelWithdrawn([&](const InFlightRequest& aRequest) { ... });
//
// When API keys are withdrawn, the requests that use them are cancelled. A
// non-idempotent request that was already dispatched is left to finish, since
// its caller must learn its outcome. Not thread-safe.

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
  // Empty on routes that need no key, like `m_clientAccount`.
  std::optional<KeyId> m_key;
  ClientAccountId m_clientAccount;
  bool m_isIdempotent = false;
};

class InFlightRequests
{
public:
  // Removes the request from the registry when destroyed. The registry must
  // outlive the registration.
  class [[nodiscard]] Registration
  {
  public:
    Registration(InFlightRequests& aOwner, std::uint64_t aId);
    Registration(Registration&& aOther) noexcept;
    Registration& operator=(Registration&&) = delete;
    ~Registration();

    // Records that from now on bytes of the request may reach a backend server
    // or a peer. Must be called before the first byte is sent.
    void MarkDispatched();

  private:
    InFlightRequests* m_owner;
    std::uint64_t m_id;
  };

  // Adds a request. `aCancel` cancels it and must outlive the registration.
  Registration Add(InFlightRequest aRequest, CancelSource& aCancel);

  std::size_t Count() const { return m_running.size(); }

  // Cancels with KeyWithdrawn each request for which `aIsGranted` returns
  // false, except non-idempotent requests that were dispatched.
  void CancelWithdrawn(
    const std::function<bool(const InFlightRequest&)>& aIsGranted);

  // Cancels every request, when the timeout of a graceful shutdown has passed.
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

// Dispatches operators' requests to functions registered by method and path.
//
//   AdminRoutes routes;
//   routes.Register("GET", "/counters", [&](const AdminQuery&) {
//     return AdminResponse{ .m_body = CountersJson(metrics) };
//   });
//   HttpServer server({ ..., .m_handler = routes });
//
// A request without a registered function is refused with UnknownRoute. HEAD
// requests are handled like GET. Not thread-safe.

#pragma once

#include "rattanweir/base/asio/asio.h"
#include "rattanweir/connection/admin/admin_query.h"
#include "rattanweir/request/exchange/exchange.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace rattanweir {

struct AdminResponse
{
  unsigned m_status = 200;
  std::string m_contentType = "application/json";
  std::string m_body;
};

// Returns the complete response or throws RequestError.
using AdminFunction = std::function<AdminResponse(const AdminQuery&)>;

class AdminRoutes final : public RequestHandler
{
public:
  // Registers a function. Replaces an earlier one for the same method and path.
  void Register(const std::string& aMethod,
                const std::string& aPath,
                AdminFunction aFunction);

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override;

private:
  AdminResponse CallFunction(const InboundRequest& aRequest) const;

  std::map<std::pair<std::string, std::string>, AdminFunction> m_functions;
};

} // namespace rattanweir

#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/admin/admin_routes.h"

#include <utility>

namespace rattanweir {

void
AdminRoutes::Register(const std::string& aMethod,
                      const std::string& aPath,
                      AdminFunction aFunction)
{
  m_functions[{ aMethod, aPath }] = std::move(aFunction);
}

AdminResponse
AdminRoutes::CallFunction(const InboundRequest& aRequest) const
{
  const AdminQuery query = ParseAdminTarget(aRequest.m_target);
  const bool isHead = aRequest.m_method == "HEAD";
  const std::string method = isHead ? "GET" : aRequest.m_method;
  const auto found = m_functions.find({ method, query.m_path });
  if (found == m_functions.end()) {
    throw RequestError(ResultCode::UnknownRoute,
                       "no admin route for " + method + " " + query.m_path);
  }
  return found->second(query);
}

Task<void>
AdminRoutes::Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& /*aCancel*/)
{
  AdminResponse response = CallFunction(aRequest);
  ResponseHead head{ .m_status = response.m_status,
                     .m_headers = { { "content-type",
                                      response.m_contentType } },
                     .m_contentLength = response.m_body.size() };
  co_await aSink.WriteHead(std::move(head));
  co_await aSink.WriteChunk(std::move(response.m_body));
  co_await aSink.Finish();
}

} // namespace rattanweir

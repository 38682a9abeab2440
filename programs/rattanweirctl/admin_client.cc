#include "rattanweir/base/asio/asio.h"

#include "programs/rattanweirctl/admin_client.h"

#include "rattanweir/base/cancel/cancel.h"
#include "rattanweir/base/clock/clock.h"
#include "rattanweir/connection/http_client/http_client.h"

#include <boost/asio/io_context.hpp>

#include <exception>
#include <memory>
#include <utility>

namespace rattanweir::ctl {
namespace {

Task<AdminResponse>
Exchange(Upstream& aUpstream, AdminRequest aRequest, CancelSource& aCancel)
{
  OutboundRequest outbound{
    .m_method = aRequest.m_method,
    .m_target = aRequest.m_target,
    .m_headers = { { "accept", "application/json" } },
    .m_body = std::make_shared<const std::string>(),
    .m_deadline = SystemClock().SteadyNow() + aRequest.m_timeout,
  };
  const auto exchange =
    co_await aUpstream.Send(aRequest.m_endpoint, std::move(outbound), aCancel);
  AdminResponse response;
  const ResponseHead head = co_await exchange->ReadHead();
  response.m_status = head.m_status;
  while (auto chunk = co_await exchange->ReadChunk()) {
    response.m_body += *chunk;
  }
  co_return response;
}

} // namespace

AdminResponse
SendAdminRequest(const AdminRequest& aRequest)
{
  asio::io_context context;
  AdminResponse response;
  std::exception_ptr failure;
  {
    HttpUpstream upstream({ .m_executor = context.get_executor() });
    CancelSource cancel;
    asio::co_spawn(context,
                   Exchange(upstream, aRequest, cancel),
                   [&](std::exception_ptr aFailure, AdminResponse aResponse) {
                     failure = std::move(aFailure);
                     response = std::move(aResponse);
                     context.stop();
                   });
    context.run();
  }
  if (!failure) {
    return response;
  }
  try {
    std::rethrow_exception(failure);
  } catch (const RequestError& error) {
    throw AdminUnreachable(aRequest.m_endpoint.ToString() + ": " +
                           error.what());
  }
}

} // namespace rattanweir::ctl

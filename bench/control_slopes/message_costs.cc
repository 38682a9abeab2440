#include "bench/control_slopes/message_costs.h"

#include "bench/control_slopes/measure.h"
#include "rattanweir/connection/control_messages/control_messages.h"
#include "rattanweir/connection/rpc/rpc.h"

#include <chrono>
#include <cstdio>
#include <functional>
#include <string>

namespace rattanweir {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kCalls = 200;
const InstanceId kBorrower("ostland-0001");
const InstanceId kLender("ostland-0002");
const ClientAccountId kAccount("client-account-17");
const LeaseId kLease("ostland-0001/1311768467294899695/1234");

Heartbeat
MakeHeartbeat(std::size_t aDraining)
{
  Heartbeat heartbeat{ .m_from = kBorrower,
                       .m_incarnation = Incarnation(1311768467294899695),
                       .m_sequence = 123'456,
                       .m_isReady = true,
                       .m_requestsInFlight = 300 };
  for (const SectionKind kind : kAllSectionKinds) {
    heartbeat.m_versions.emplace(kind, SectionVersion(123'456));
  }
  for (std::size_t number = 0; number < aDraining; ++number) {
    heartbeat.m_drainingBackendServers.emplace_back("backend-server-" +
                                                    std::to_string(number));
  }
  return heartbeat;
}

LeaseRequest
MakeLeaseRequest()
{
  return { .m_id = kLease,
           .m_borrower = kBorrower,
           .m_borrowerIncarnation = Incarnation(1311768467294899695),
           .m_lender = kLender,
           .m_clientAccount = kAccount,
           .m_fraction = 0.3712345678,
           .m_tokens = Tokens(1'234),
           .m_term = 5s };
}

LeaseGrant
MakeLeaseGrant()
{
  return { .m_id = kLease,
           .m_clientAccount = kAccount,
           .m_fraction = 0.3712345678,
           .m_tokens = 1'234.56789,
           .m_term = 5s };
}

SectionOffer
MakeSectionOffer(std::size_t aBytes)
{
  return { .m_kind = SectionKind::ClientAccounts,
           .m_version = SectionVersion(123'456),
           .m_text = { .m_file = "client_accounts.yaml",
                       .m_text = std::string(aBytes, 'x') } };
}

// One RPC call: the client encodes the parameters, the server decodes them and
// encodes the result, and the client decodes the result.
struct Exchange
{
  std::string m_name;
  std::string m_method;
  std::function<Json::Value()> m_parameters;
  std::function<Json::Value(const Json::Value&)> m_handle;
  std::function<void(const Json::Value&)> m_parseResult;
};

Exchange
MakeHeartbeatExchange(std::size_t aDraining)
{
  return {
    .m_name = "heartbeat, " + std::to_string(aDraining) + " servers leaving",
    .m_method = kHeartbeatMethod,
    .m_parameters = [aDraining] { return ToJson(MakeHeartbeat(aDraining)); },
    .m_handle =
      [aDraining](const Json::Value& aParameters) {
        HeartbeatFromJson(aParameters);
        return ToJson(MakeHeartbeat(aDraining));
      },
    .m_parseResult =
      [](const Json::Value& aResult) { HeartbeatFromJson(aResult); }
  };
}

Exchange
MakeSectionExchange(std::size_t aBytes)
{
  return { .m_name = "fetch_section, " + std::to_string(aBytes / 1'000) + " kB",
           .m_method = kFetchSectionMethod,
           .m_parameters = [] { return ToJson(SectionKind::ClientAccounts); },
           .m_handle =
             [aBytes](const Json::Value& aParameters) {
               SectionKindFromJson(aParameters);
               return ToJson(MakeSectionOffer(aBytes));
             },
           .m_parseResult =
             [](const Json::Value& aResult) {
               SectionOfferFromJson(aResult);
             } };
}

Exchange
MakeBorrowExchange()
{
  return { .m_name = "borrow_share",
           .m_method = kBorrowShareMethod,
           .m_parameters = [] { return ToJson(MakeLeaseRequest()); },
           .m_handle =
             [](const Json::Value& aParameters) {
               LeaseRequestFromJson(aParameters);
               return ToJson(MakeLeaseGrant());
             },
           .m_parseResult =
             [](const Json::Value& aResult) { LeaseGrantFromJson(aResult); } };
}

Exchange
MakeReturnExchange()
{
  return { .m_name = "return_share",
           .m_method = kReturnShareMethod,
           .m_parameters =
             [] {
               return ToJson(LeaseReturn{ .m_id = kLease,
                                          .m_borrower = kBorrower,
                                          .m_lender = kLender,
                                          .m_clientAccount = kAccount,
                                          .m_tokens = 1'234.56789 });
             },
           .m_handle =
             [](const Json::Value& aParameters) {
               LeaseReturnFromJson(aParameters);
               Json::Value result(Json::objectValue);
               result["taken"] = true;
               return result;
             },
           .m_parseResult = [](const Json::Value&) {} };
}

void
PrintRow(const Exchange& aExchange)
{
  RpcDispatcher dispatcher;
  dispatcher.Register(aExchange.m_method, aExchange.m_handle);
  std::size_t requestBytes = 0;
  std::size_t responseBytes = 0;
  const double time = CpuNanosecondsPerCall(kCalls, [&] {
    for (std::size_t call = 0; call < kCalls; ++call) {
      const std::string request =
        EncodeRpcRequest(aExchange.m_method, aExchange.m_parameters());
      const std::string response = dispatcher.Handle(request);
      aExchange.m_parseResult(DecodeRpcResponse(response));
      requestBytes = request.size();
      responseBytes = response.size();
    }
  });
  std::printf("| %-32s | %9zu | %9zu | %10.1f |\n",
              aExchange.m_name.c_str(),
              requestBytes,
              responseBytes,
              time / 1'000);
}

} // namespace

void
PrintMessageCosts()
{
  std::printf("\n| call | bytes asked | bytes answered | both sides, us |\n"
              "| --- | --- | --- | --- |\n");
  for (const std::size_t draining : { 0, 10, 100 }) {
    PrintRow(MakeHeartbeatExchange(draining));
  }
  PrintRow(MakeBorrowExchange());
  PrintRow(MakeReturnExchange());
  for (const std::size_t bytes : { 10'000, 100'000, 1'000'000 }) {
    PrintRow(MakeSectionExchange(bytes));
  }
}

} // namespace rattanweir

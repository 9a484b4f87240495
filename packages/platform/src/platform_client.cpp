#include "skylarkwind/platform_client.h"

#include "platform_json_p.h"

#include <absl/status/status.h>

namespace skylarkwind {

namespace {

template<class... functions>
struct overloaded : functions...
{
  using functions::operator()...;
};
template<class... functions>
overloaded(functions...) -> overloaded<functions...>;

class http_platform_client final : public platform_client
{
public:
  http_platform_client(platform_settings aSettings,
                       http_client& aHttp,
                       std::function<void(event)> aSink)
    : mSettings(std::move(aSettings))
    , mHttp(aHttp)
    , mSink(std::move(aSink))
  {
  }

  void Call(const call_platform& aCall) override
  {
    auto operation = aCall.mOperation;
    auto id = aCall.mCall;
    // The call may end after this client; the sink is copied, the client is not used.
    auto onEnd = [sink = mSink, id, operation](const http_result& aResult) {
      sink(platform_replied{ id, Convert(operation, aResult) });
    };
    mHttp.Start(Request(operation), { nullptr, std::move(onEnd) });
  }

private:
  static platform_result Convert(const platform_operation& aOperation, const http_result& aResult)
  {
    switch (aResult.mEnd) {
      case http_end::NotSent:
        return ConvertPlatformError(platform_error::NotSent, aResult.mReason);
      case http_end::Broken:
      case http_end::Silent:
        return ConvertPlatformError(platform_error::NoAnswer, aResult.mReason);
      case http_end::Complete:
        break;
    }
    auto answer = ReadPlatformAnswer(aOperation, aResult);
    if (auto* error = std::get_if<platform_error>(&answer)) {
      return ConvertPlatformError(*error, "status " + std::to_string(aResult.mStatus));
    }
    return std::get<platform_result>(std::move(answer));
  }

  http_request Request(const platform_operation& aOperation) const
  {
    http_request request;
    request.mRepeatable = true;
    request.mFirstProgressLimit = mSettings.mReadLimit;
    request.mProgressLimit = mSettings.mReadLimit;
    if (!mSettings.mCredential.empty()) {
      request.mHeaders.emplace_back("Authorization", "Bearer " + mSettings.mCredential);
    }
    std::visit(overloaded{ [&](const read_object& aRead) { request.mUrl = ObjectUrl(aRead.mKey); },
                           [&](const write_object& aWrite) { FillWrite(aWrite, request); },
                           [&](const watch_object& aWatch) {
                             request.mUrl = ObjectUrl(aWatch.mKey) +
                                            "?after=" + std::to_string(aWatch.mAfterVersion) +
                                            "&wait_ms=" + std::to_string(aWatch.mWait.count());
                             request.mFirstProgressLimit = aWatch.mWait + mSettings.mWatchMargin;
                           },
                           [&](const read_vm_list&) { request.mUrl = Base() + "/v1/vms"; } },
               aOperation);
    return request;
  }

  void FillWrite(const write_object& aWrite, http_request& aRequest) const
  {
    aRequest.mMethod = "PUT";
    aRequest.mUrl = ObjectUrl(aWrite.mKey);
    aRequest.mHeaders.emplace_back("If-Match", std::to_string(aWrite.mExpectedVersion));
    aRequest.mHeaders.emplace_back("Content-Type", "application/json");
    aRequest.mBody = aWrite.mValue;
    // A repeated conditional write would report its own first effect as a conflict.
    aRequest.mRepeatable = false;
    aRequest.mFirstProgressLimit = mSettings.mWriteLimit;
    aRequest.mProgressLimit = mSettings.mWriteLimit;
  }

  std::string Base() const { return "http://" + mSettings.mAddress; }
  std::string ObjectUrl(const object_key& aKey) const
  {
    return Base() + "/v1/objects/" + EncodeSegment(aKey.mKind) + "/" + EncodeSegment(aKey.mName);
  }

  platform_settings mSettings;
  http_client& mHttp;
  std::function<void(event)> mSink;
};

} // namespace

absl::StatusOr<std::unique_ptr<platform_client>>
platform_client::Create(platform_settings aSettings,
                        http_client& aHttp,
                        std::function<void(event)> aSink)
{
  if (aSettings.mAddress.find(':') == std::string::npos) {
    return absl::InvalidArgumentError("the platform's address must be ip:port");
  }
  if (!aSink) {
    return absl::InvalidArgumentError("the platform client needs a sink for its events");
  }
  return std::make_unique<http_platform_client>(std::move(aSettings), aHttp, std::move(aSink));
}

} // namespace skylarkwind

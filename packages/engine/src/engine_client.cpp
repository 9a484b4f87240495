#include "skylarkwind/engine_client.h"

#include "engine_json_p.h"
#include "generation_p.h"

#include <absl/status/status.h>

#include <unordered_map>

namespace skylarkwind {

namespace {

/// An attempt that has not ended.
struct open_attempt
{
  std::string mAddress;
  http_call mCall;
  std::string mStream; ///< empty for a plain call
  bool mPrefillOnly = false;
  std::optional<generation> mGeneration;
};

engine_error
ConvertEnd(const http_result& aResult)
{
  switch (aResult.mEnd) {
    case http_end::NotSent:
      return engine_error::NotSent;
    case http_end::Silent:
      return engine_error::Silent;
    case http_end::Broken:
    case http_end::Complete:
      break;
  }
  return engine_error::Broken;
}

attempt_failed
Failure(engine_error aError, int aStatus, const std::string& aReason)
{
  auto reason = std::string{ EngineErrorText(aError) };
  if (!aReason.empty()) {
    reason += ": " + aReason;
  }
  return { ConvertEngineError(aError), aStatus, std::move(reason) };
}

class http_engine_client final : public engine_client
{
public:
  http_engine_client(http_client& aHttp,
                     std::function<void(event)> aSink,
                     const clock_source& aClock,
                     const engine_client_settings& aSettings)
    : mHttp(aHttp)
    , mSink(std::move(aSink))
    , mClock(aClock)
    , mSettings(aSettings)
  {
  }
  ~http_engine_client() override;
  http_engine_client(const http_engine_client&) = delete;
  http_engine_client& operator=(const http_engine_client&) = delete;

  void Start(const start_attempt& aAttempt) override;
  void Cancel(attempt_id aAttempt) override;
  void Observe(const request_engine_state& aQuestion) override;
  void Order(const send_engine_command& aOrder) override;
  void ReadCacheEvents(const read_cache_events& aRead) override;

private:
  void StartGeneration(const start_attempt& aAttempt, const generate_call& aCall);
  void StartPlain(const start_attempt& aAttempt, const plain_call& aCall);
  void OnGenerationBody(attempt_id aAttempt, int aStatus, std::string_view aData);
  void OnGenerationEnd(attempt_id aAttempt, const http_result& aResult);
  void OnPlainEnd(attempt_id aAttempt, http_result aResult);
  void ExportKv(attempt_id aAttempt);
  void OnExported(attempt_id aAttempt, const http_result& aResult);
  void End(attempt_id aAttempt, attempt_outcome aOutcome);
  void PostCancel(const std::string& aAddress, const std::string& aStream);
  static http_request Request(const std::string& aAddress,
                              const std::string& aPath,
                              std::chrono::milliseconds aLimit);

  http_client& mHttp;
  std::function<void(event)> mSink;
  const clock_source& mClock;
  engine_client_settings mSettings;
  std::unordered_map<attempt_id, open_attempt> mOpen;
};

http_engine_client::~http_engine_client()
{
  // Callbacks of open attempts refer to this client.
  for (const auto& [id, attempt] : mOpen) {
    mHttp.Cancel(attempt.mCall);
  }
}

http_request
http_engine_client::Request(const std::string& aAddress,
                            const std::string& aPath,
                            std::chrono::milliseconds aLimit)
{
  http_request request;
  request.mUrl = "http://" + aAddress + aPath;
  request.mFirstProgressLimit = aLimit;
  request.mProgressLimit = aLimit;
  return request;
}

void
http_engine_client::Start(const start_attempt& aAttempt)
{
  if (const auto* generate = std::get_if<generate_call>(&aAttempt.mCall)) {
    StartGeneration(aAttempt, *generate);
  } else {
    StartPlain(aAttempt, std::get<plain_call>(aAttempt.mCall));
  }
}

void
http_engine_client::StartGeneration(const start_attempt& aAttempt, const generate_call& aCall)
{
  auto id = aAttempt.mAttempt;
  auto body = GenerationBody(aCall);
  if (!body) {
    constexpr int kBadRequest = 400;
    mSink(attempt_progress{
      id, Failure(engine_error::Rejected, kBadRequest, "body is not a JSON object") });
    return;
  }
  auto request = Request(aAttempt.mAddress,
                         aCall.mChat ? "/v1/chat/completions" : "/v1/completions",
                         aAttempt.mFirstProgressLimit);
  request.mMethod = "POST";
  request.mHeaders = { { "Content-Type", "application/json" }, { "Accept", "text/event-stream" } };
  request.mBody = std::move(*body);
  request.mProgressLimit = aAttempt.mProgressLimit;
  auto call = mHttp.Start(
    std::move(request),
    { [this, id](int aStatus, std::string_view aData) { OnGenerationBody(id, aStatus, aData); },
      [this, id](const http_result& aResult) { OnGenerationEnd(id, aResult); } });
  mOpen[id] = { aAttempt.mAddress,
                call,
                aCall.mStream,
                aCall.mPrefillOnly,
                generation{ aCall.mChat, aCall.mResumeFrom } };
}

void
http_engine_client::OnGenerationBody(attempt_id aAttempt, int aStatus, std::string_view aData)
{
  auto found = mOpen.find(aAttempt);
  if (found == mOpen.end() || found->second.mGeneration->Done()) {
    return;
  }
  auto tokens = found->second.mGeneration->Take(aStatus, aData);
  if (tokens) {
    mSink(attempt_progress{ aAttempt, std::move(*tokens) });
    found = mOpen.find(aAttempt); // the sink may have cancelled it
    if (found == mOpen.end()) {
      return;
    }
  }
  auto& attempt = found->second;
  if (attempt.mGeneration->Failed()) {
    auto reason = attempt.mGeneration->FailureReason();
    mHttp.Cancel(attempt.mCall);
    End(aAttempt, Failure(engine_error::Malformed, aStatus, reason));
  }
}

/// The outcome is reported at the end of the answer, so that the connection can be used again.
void
http_engine_client::OnGenerationEnd(attempt_id aAttempt, const http_result& aResult)
{
  auto found = mOpen.find(aAttempt);
  if (found == mOpen.end()) {
    return;
  }
  auto& attempt = found->second;
  constexpr int kOk = 200;
  if (attempt.mGeneration->Done()) {
    // The generation is whole even if the connection failed after [DONE].
    if (attempt.mPrefillOnly) {
      ExportKv(aAttempt);
    } else {
      End(aAttempt, attempt.mGeneration->Generated());
    }
  } else if (aResult.mEnd != http_end::Complete) {
    End(aAttempt, Failure(ConvertEnd(aResult), aResult.mStatus, aResult.mReason));
  } else if (aResult.mStatus == kOk) {
    End(aAttempt, Failure(engine_error::Broken, kOk, "the stream ended without [DONE]"));
  } else {
    auto body = attempt.mGeneration->Refusal();
    End(aAttempt, Failure(ReadRefusal(aResult.mStatus, body), aResult.mStatus, body));
  }
}

void
http_engine_client::ExportKv(attempt_id aAttempt)
{
  auto& attempt = mOpen.at(aAttempt);
  auto request = Request(attempt.mAddress, "/v1/engine/kv/export", mSettings.mExportLimit);
  request.mMethod = "POST";
  request.mRepeatable = true;
  request.mHeaders = { { "Content-Type", "application/json" } };
  request.mBody = ExportBody(attempt.mStream);
  attempt.mCall = mHttp.Start(
    std::move(request),
    { nullptr, [this, aAttempt](const http_result& aResult) { OnExported(aAttempt, aResult); } });
}

void
http_engine_client::OnExported(attempt_id aAttempt, const http_result& aResult)
{
  auto found = mOpen.find(aAttempt);
  if (found == mOpen.end()) {
    return;
  }
  auto handle = ReadExport(aResult.mBody);
  if (aResult.mEnd != http_end::Complete || !handle) {
    End(aAttempt, Failure(engine_error::Broken, aResult.mStatus, "KV cache was not exported"));
    return;
  }
  auto generated = found->second.mGeneration->Generated();
  generated.mKv = kv_source{ found->second.mAddress, *handle };
  End(aAttempt, std::move(generated));
}

void
http_engine_client::StartPlain(const start_attempt& aAttempt, const plain_call& aCall)
{
  auto id = aAttempt.mAttempt;
  auto request = Request(aAttempt.mAddress, aCall.mPath, aAttempt.mFirstProgressLimit);
  request.mMethod = aCall.mMethod;
  request.mHeaders = EndToEndHeaders(aCall.mHeaders);
  request.mBody = aCall.mBody;
  request.mProgressLimit = aAttempt.mProgressLimit;
  auto call = mHttp.Start(std::move(request), { nullptr, [this, id](http_result aResult) {
                                                 OnPlainEnd(id, std::move(aResult));
                                               } });
  mOpen[id] = { aAttempt.mAddress, call, {}, false, std::nullopt };
}

void
http_engine_client::OnPlainEnd(attempt_id aAttempt, http_result aResult)
{
  if (aResult.mEnd != http_end::Complete) {
    End(aAttempt, Failure(ConvertEnd(aResult), aResult.mStatus, aResult.mReason));
    return;
  }
  End(aAttempt,
      attempt_response{
        aResult.mStatus, EndToEndHeaders(aResult.mHeaders), std::move(aResult.mBody) });
}

void
http_engine_client::End(attempt_id aAttempt, attempt_outcome aOutcome)
{
  if (mOpen.erase(aAttempt) > 0) {
    mSink(attempt_progress{ aAttempt, std::move(aOutcome) });
  }
}

void
http_engine_client::Cancel(attempt_id aAttempt)
{
  auto found = mOpen.find(aAttempt);
  if (found == mOpen.end()) {
    return;
  }
  auto attempt = std::move(found->second);
  mOpen.erase(found);
  mHttp.Cancel(attempt.mCall);
  if (!attempt.mStream.empty()) {
    PostCancel(attempt.mAddress, attempt.mStream);
  }
}

void
http_engine_client::PostCancel(const std::string& aAddress, const std::string& aStream)
{
  auto request =
    Request(aAddress, "/v1/engine/streams/" + aStream + "/cancel", mSettings.mCancelLimit);
  request.mMethod = "POST";
  request.mRepeatable = true;
  // The closed connection tells the engine as well, so a lost cancel call needs no repetition.
  mHttp.Start(std::move(request), { nullptr, [](const http_result&) {} });
}

void
http_engine_client::Observe(const request_engine_state& aQuestion)
{
  auto request = Request(aQuestion.mAddress, "/v1/engine/state", mSettings.mObserveLimit);
  request.mRepeatable = true;
  auto onEnd =
    [sink = mSink, name = aQuestion.mEngine, asked = mClock.Now()](const http_result& aResult) {
      std::optional<engine_report> report;
      if (aResult.mEnd == http_end::Complete) {
        report = ReadReport(aResult.mBody);
      }
      sink(engine_state_received{ name, std::move(report), asked });
    };
  mHttp.Start(std::move(request), { nullptr, std::move(onEnd) });
}

void
http_engine_client::Order(const send_engine_command& aOrder)
{
  auto request = Request(aOrder.mAddress, "/v1/engine/orders", mSettings.mOrderLimit);
  request.mMethod = "POST";
  request.mHeaders = { { "Content-Type", "application/json" } };
  request.mBody = OrderBody(aOrder.mOrder);
  request.mMayWrite = [&clock = mClock, limit = aOrder.mNotAfter]() {
    return clock.Now() <= limit;
  };
  auto onEnd = [sink = mSink, engine = aOrder.mEngine, order = aOrder.mOrder.mOrder](
                 const http_result& aResult) {
    auto result = aResult.mEnd == http_end::Complete ? ReadOrderStatus(aResult.mStatus)
                                                     : engine_command_result::NoAnswer;
    sink(engine_command_completed{ engine, order, result });
  };
  mHttp.Start(std::move(request), { nullptr, std::move(onEnd) });
}

void
http_engine_client::ReadCacheEvents(const read_cache_events& aRead)
{
  auto request = Request(aRead.mAddress,
                         "/v1/engine/cache_events?after=" + std::to_string(aRead.mAfter),
                         mSettings.mObserveLimit);
  request.mRepeatable = true;
  auto onEnd =
    [sink = mSink, engine = aRead.mEngine, after = aRead.mAfter](const http_result& aResult) {
      std::optional<cache_events_page> page;
      if (aResult.mEnd == http_end::Complete) {
        page = ReadCacheEventsPage(aResult.mBody);
      }
      if (!page) {
        page = cache_events_page{ {}, after, 0 };
      }
      sink(cache_events_read{ engine, page->mIncarnation, std::move(page->mEvents), page->mNext });
    };
  mHttp.Start(std::move(request), { nullptr, std::move(onEnd) });
}

} // namespace

absl::StatusOr<std::unique_ptr<engine_client>>
engine_client::Create(http_client& aHttp,
                      std::function<void(event)> aSink,
                      const clock_source& aClock,
                      const engine_client_settings& aSettings)
{
  if (!aSink) {
    return absl::InvalidArgumentError("the engine client needs a sink for its events");
  }
  return std::make_unique<http_engine_client>(aHttp, std::move(aSink), aClock, aSettings);
}

} // namespace skylarkwind

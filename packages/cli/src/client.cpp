#include "client_p.h"

#include <curl/curl.h>

#include <memory>
#include <ostream>

namespace skylarkwind {

namespace {

constexpr long kConnectLimitSeconds = 3;
constexpr long kCallLimitSeconds = 15;

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

struct curl_deleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using curl_handle = std::unique_ptr<CURL, curl_deleter>;
using curl_headers = std::unique_ptr<curl_slist, curl_deleter>;

void
AddHeader(curl_headers& aList, const std::string& aLine)
{
  aList.reset(curl_slist_append(aList.release(), aLine.c_str()));
}

absl::Status
ErrorOf(const std::string& aUrl, const http_answer& aAnswer)
{
  return absl::UnavailableError(aUrl + " answered " + std::to_string(aAnswer.mStatus) + " " +
                                aAnswer.mBody.substr(0, 300));
}

} // namespace

absl::StatusOr<http_answer>
CallHttp(const std::string& aMethod,
         const std::string& aUrl,
         const std::string& aBearer,
         const std::string& aIfMatch,
         const std::string& aBody)
{
  const curl_handle curl{ curl_easy_init() };
  curl_headers headers;
  if (!aBearer.empty()) {
    AddHeader(headers, "Authorization: Bearer " + aBearer);
  }
  if (!aIfMatch.empty()) {
    AddHeader(headers, "If-Match: " + aIfMatch);
  }
  if (!aBody.empty()) {
    AddHeader(headers, "Content-Type: application/json");
    // Without this libcurl waits a second for "100 Continue" on larger bodies.
    AddHeader(headers, "Expect:");
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, aBody.c_str());
  }
  http_answer answer;
  curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, aMethod.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT, kConnectLimitSeconds);
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT, kCallLimitSeconds);
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer.mBody);
  const auto code = curl_easy_perform(curl.get());
  if (code != CURLE_OK) {
    return absl::UnavailableError(aUrl + ": " + curl_easy_strerror(code));
  }
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  answer.mStatus = static_cast<int>(status);
  return answer;
}

cli_exit
Fail(std::ostream& aErr, const absl::Status& aStatus)
{
  aErr << "skylarkwind: " << std::string{ aStatus.message() } << '\n';
  return cli_exit::Failed;
}

absl::StatusOr<nlohmann::json>
AskDaemon(const cli_settings& aSettings, const std::string& aPath)
{
  const auto url = "http://" + aSettings.mDaemon + aPath;
  const auto answer = CallHttp("GET", url, aSettings.mCredential);
  if (!answer.ok()) {
    return answer.status();
  }
  if (answer->mStatus != 200) {
    return ErrorOf(url, *answer);
  }
  auto value = nlohmann::json::parse(answer->mBody, nullptr, false);
  if (value.is_discarded()) {
    return absl::InternalError(url + " did not answer with JSON");
  }
  return value;
}

absl::StatusOr<stored_table>
ReadStoredTable(const cli_settings& aSettings)
{
  const auto url = "http://" + aSettings.mPlatform + "/v1/objects/table/current";
  const auto answer = CallHttp("GET", url, aSettings.mPlatformCredential);
  if (!answer.ok()) {
    return answer.status();
  }
  if (answer->mStatus == 404) {
    return stored_table{};
  }
  if (answer->mStatus != 200) {
    return ErrorOf(url, *answer);
  }
  const auto value = nlohmann::json::parse(answer->mBody, nullptr, false);
  if (!value.is_object() || !value.contains("version") || !value.contains("value") ||
      !value["version"].is_number_unsigned()) {
    return absl::InternalError(url + " answered without a version and a value");
  }
  auto object = table_object::Parse(value["value"].dump());
  if (!object.ok()) {
    return object.status();
  }
  return stored_table{ value["version"].get<std::uint64_t>(), *std::move(object) };
}

} // namespace skylarkwind

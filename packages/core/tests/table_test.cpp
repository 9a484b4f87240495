#include "skylarkwind/hash.h"
#include "skylarkwind/table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace skylarkwind {

using nlohmann::json;

namespace {

json
GoodTable()
{
  return json::parse(R"({"serial":7,
    "services":[{"name":"stones","kind":"model","time_limit_ms":9000,"role_change_price":2.5,
                 "max_changing":2,"minimum_stay_ms":30000,"queue_limit":16,"max_concurrent":40},
                {"name":"orders","kind":"plain","path_prefix":"/orders","non_idempotent":true}],
    "models":[{"name":"org/m1","service":"stones","version":"3"}],
    "roles":[{"service":"stones","role":"prefill","weight":2.5,"minimum_engines":1}],
    "accounts":[{"name":"alpha","priority":-2,"max_requests_per_second":1.5}],
    "engines":[{"name":"e1","address":"10.0.0.1:80","data_centre":"a","service":"stones",
                "model":"org/m1","role":"decode","pinned":true,"weight":2.0,"checks_fencing":true,"intent":"drain"}],
    "backends":[{"name":"b1","address":"[fe80::1]:80","data_centre":"a","service":"orders",
                 "honours_keys":true}]})")
    .patch(json::array({ { { "op", "add" },
                           { "path", "/accounts/0/api_key_sha256" },
                           { "value", Sha256Hex("alpha") } } }));
}

} // namespace

class table_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(table_test);
  CPPUNIT_TEST(JsonFormKeepsEveryMember);
  CPPUNIT_TEST(EachMistakeIsNamedWithItsRow);
  CPPUNIT_TEST(AllMistakesAreListedAtOnce);
  CPPUNIT_TEST(LookupsFindEachRowOfALargeTable);
  CPPUNIT_TEST(PathsMatchWholeSegments);
  CPPUNIT_TEST(DiffNamesEachChangedRow);
  CPPUNIT_TEST(HistoryStaysWithinItsLimits);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a member that is lost or renamed between an edit and a daemon.
  void JsonFormKeepsEveryMember()
  {
    const auto parsed = table::Parse(GoodTable().dump());
    CPPUNIT_ASSERT_MESSAGE(parsed.status().ToString(), parsed.ok());
    const auto again = table::Parse(parsed->ToJson());
    CPPUNIT_ASSERT(again.ok());
    CPPUNIT_ASSERT_EQUAL(GoodTable().dump(), json::parse(again->ToJson()).dump());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, again->Serial());
    CPPUNIT_ASSERT(again->Engines()[0].mIntent == engine_intent::Drain);
    CPPUNIT_ASSERT(again->Services()[1].mTimeLimit == std::chrono::minutes{ 2 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, again->WithSerial(9).Serial());
  }

  /// Guards against an invalid row that reaches the daemons, and against a message that does not
  /// name the row and the member.
  void EachMistakeIsNamedWithItsRow()
  {
    const auto engine = GoodTable()["engines"][0];
    auto otherName = engine;
    otherName["name"] = "e2";
    const std::vector<std::tuple<std::string, json, std::string>> mistakes{
      { "/extra", 1, "table: extra: is not a known member" },
      { "/serial", -1, "table: serial: must be from 0" },
      { "/engines", 3, "table: engines: must be an array" },
      { "/engines/0", 3, "engines[0]: must be an object" },
      { "/engines/0/colour", "red", "engines[0] e1: colour: is not a known member" },
      { "/engines/0/weight", "2", "engines[0] e1: weight: must be a number" },
      { "/engines/0/weight", 0, "engines[0] e1: weight: must be above 0" },
      { "/engines/0/role", "all", "engines[0] e1: role: must be one of prefill, decode, both" },
      { "/engines/0/address", "10.0.0.1", "engines[0] e1: address: must be ip:port" },
      { "/engines/0/address", "10.0.0.1:0", "engines[0] e1: address: must be ip:port" },
      { "/engines/0/address", "10.0.0.256:1", "engines[0] e1: address: must be ip:port" },
      { "/engines/0/model", "m9", "engines[0] e1: model: there is no model m9" },
      { "/engines/0/service", "s9", "engines[0] e1: service: there is no service s9" },
      { "/engines/0/name", "a/b", "engines[0] a/b: name: must be" },
      { "/engines/1", engine, "engines[1] e1: name: is already used in engines[0] e1" },
      { "/engines/1", otherName, "engines[1] e2: address: is already used in engines[0] e1" },
      { "/backends/0/name", "e1", "backends[0] e1: name: is already used in engines[0] e1" },
      { "/backends/0/service", "stones", "backends[0] b1: service: stones is not of kind plain" },
      { "/models/0/service", "orders", "models[0] org/m1: service: orders is not of kind model" },
      { "/models/0/name", json(), "models[0]: name: must be a text" },
      { "/roles/0/weight", -1, "roles[0] stones: weight: must be above 0" },
      { "/roles/1", GoodTable()["roles"][0], "roles[1] stones: role: is already used in roles[0]" },
      { "/accounts/0/api_key_sha256", "12", "accounts[0] alpha: api_key_sha256: must be 64" },
      { "/accounts/0/priority", 1.5, "accounts[0] alpha: priority: must be a whole number" },
      { "/accounts/0/max_requests_per_second", -1, "accounts[0] alpha: max_requests_per_second" },
      { "/services/1/path_prefix", "orders", "services[1] orders: path_prefix: must begin with" },
      { "/services/1/path_prefix", "/admin/x", "services[1] orders: path_prefix: overlaps the" },
      { "/services/0/path_prefix", "/x", "services[0] stones: path_prefix: is only for" },
      { "/services/0/max_changing", 5'000'000'000, "services[0] stones: max_changing: must be" },
      { "/services/0/time_limit_ms", 0, "services[0] stones: time_limit_ms: must be above 0" },
      { "/services/2",
        { { "name", "more" }, { "kind", "plain" }, { "path_prefix", "/orders/late" } },
        "services[2] more: path_prefix: overlaps that of services[1] orders" },
    };
    for (const auto& [path, value, text] : mistakes) {
      auto wrong = GoodTable();
      wrong[json::json_pointer{ path }] = value;
      const auto parsed = table::Parse(wrong.dump());
      CPPUNIT_ASSERT_MESSAGE("accepted: " + text, !parsed.ok());
      const auto message = std::string{ parsed.status().message() };
      CPPUNIT_ASSERT_MESSAGE(message, ("\n" + message).find("\n" + text) != std::string::npos);
    }
    const auto twice = table::Parse(R"({"serial":1,"serial":2})");
    CPPUNIT_ASSERT_EQUAL(std::string{ "table: serial: appears twice in one object" },
                         std::string{ twice.status().message() });
  }

  /// Guards against a parser that reports only the first of several problems, and against one that
  /// lists a problem twice.
  void AllMistakesAreListedAtOnce()
  {
    auto wrong = GoodTable();
    wrong["accounts"][0].erase("api_key_sha256");
    wrong["engines"][0]["weight"] = "heavy";
    wrong["backends"][0]["weight"] = -1;
    CPPUNIT_ASSERT_EQUAL(std::string{ "accounts[0] alpha: api_key_sha256: is required\n"
                                      "engines[0] e1: weight: must be a number\n"
                                      "backends[0] b1: weight: must be above 0" },
                         std::string{ table::Parse(wrong.dump()).status().message() });
  }

  /// Guards against an index that misses rows at the target size, in any order of rows.
  void LookupsFindEachRowOfALargeTable()
  {
    auto large = GoodTable();
    for (int i = 0; i < 600; ++i) {
      const auto number = std::to_string(i * 7919 % 600);
      auto engine = large["engines"][0];
      engine["name"] = "engine-" + number;
      engine["address"] = "10.1.0.1:" + std::to_string(1000 + i);
      large["engines"].push_back(engine);
      large["accounts"].push_back(
        { { "name", "account-" + number }, { "api_key_sha256", Sha256Hex(number) } });
    }
    const auto parsed = table::Parse(large.dump());
    CPPUNIT_ASSERT_MESSAGE(parsed.status().ToString(), parsed.ok());
    for (int i = 0; i < 600; ++i) {
      const auto number = std::to_string(i);
      const auto* engine = parsed->FindEngine("engine-" + number);
      CPPUNIT_ASSERT(engine != nullptr && engine->mName == "engine-" + number);
      const auto* account = parsed->FindAccountByKey(Sha256Hex(number));
      CPPUNIT_ASSERT(account != nullptr && account->mName == "account-" + number);
    }
    CPPUNIT_ASSERT(parsed->FindEngine("engine-600") == nullptr);
    CPPUNIT_ASSERT(parsed->FindAccountByKey("") == nullptr);
    CPPUNIT_ASSERT(parsed->FindModel("org/m1") == parsed->Models().data());
    CPPUNIT_ASSERT(parsed->FindRole("stones", engine_role::Prefill) != nullptr);
    CPPUNIT_ASSERT(parsed->FindRole("stones", engine_role::Decode) == nullptr);
  }

  /// Guards against "/ordersx" being sent to the service of "/orders".
  void PathsMatchWholeSegments()
  {
    const auto parsed = table::Parse(GoodTable().dump());
    const auto* orders = parsed->FindService("orders");
    CPPUNIT_ASSERT(orders != nullptr);
    for (const auto* path : { "/orders", "/orders?x=/y", "/orders/1?x" }) {
      CPPUNIT_ASSERT(parsed->FindServiceByPath(path) == orders);
    }
    for (const auto* path : { "/ordersx", "/", "/a/orders", "" }) {
      CPPUNIT_ASSERT(parsed->FindServiceByPath(path) == nullptr);
    }
  }

  /// Guards against an audit trail that lacks a changed row of an edit.
  void DiffNamesEachChangedRow()
  {
    const auto before = table::Parse(GoodTable().dump());
    auto edited = GoodTable();
    edited["engines"][0]["weight"] = 3;
    edited["roles"].clear();
    edited["backends"].push_back(edited["backends"][0]);
    edited["backends"][1]["name"] = "b2";
    edited["backends"][1]["address"] = "10.0.0.9:1";
    const auto changes = DiffTables(*before, *table::Parse(edited.dump()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "roles stones/prefill" }, changes[0].mRow);
    CPPUNIT_ASSERT(changes[0].mKind == row_change::kind::Removed && changes[0].mAfter.empty());
    CPPUNIT_ASSERT_EQUAL(std::string{ "engines e1" }, changes[1].mRow);
    CPPUNIT_ASSERT_EQUAL(3.0, json::parse(changes[1].mAfter)["weight"].get<double>());
    CPPUNIT_ASSERT_EQUAL(std::string{ "backends b2" }, changes[2].mRow);
    CPPUNIT_ASSERT(changes[2].mKind == row_change::kind::Added && changes[2].mBefore.empty());
    CPPUNIT_ASSERT(DiffTables(*before, before->WithSerial(99)).empty());
  }

  /// Guards against an object that outgrows the platform's 1 MB, which would block all edits.
  void HistoryStaysWithinItsLimits()
  {
    table_object object;
    object.mTable = *table::Parse(GoodTable().dump());
    for (std::uint64_t i = 1; i <= 300; ++i) {
      object.mHistory.push_back({ i, "ada", "why \xff", "2026-01-01T00:00:00Z", { "engines e1" } });
    }
    auto parsed = table_object::Parse(object.ToJson());
    CPPUNIT_ASSERT_MESSAGE(parsed.status().ToString(), parsed.ok());
    CPPUNIT_ASSERT_EQUAL(kTableHistoryLimit, parsed->mHistory.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 300 }, parsed->mHistory.back().mSerial);
    for (auto& edit : object.mHistory) {
      edit.mRows.assign(1'000, "engines engine-000");
    }
    CPPUNIT_ASSERT(object.ToJson().size() < kTableHistoryBytes + 10'000);
    CPPUNIT_ASSERT(!table_object::Parse(R"({"history":[]})").ok());
    CPPUNIT_ASSERT(!table_object::Parse(R"({"table":{},"history":[{"rows":[1]}]})").ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_test);

} // namespace skylarkwind

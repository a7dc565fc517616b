/**
 * @file load_plan.cpp
 * Parses the load generator's plan from INI text.
 */
#include "standin/load_base.h"

#include "settings/ini_func.h"
#include "settings/setting_base.h"
#include "table/load_settings.h"

#include <absl/status/status.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>

namespace waxwing {
namespace {

constexpr std::string_view StreamSectionPrefix = "stream ";

std::vector<std::string> splitWords(const std::string &text) {
  return absl::StrSplit(text, ' ', absl::SkipEmpty());
}

std::vector<Endpoint> splitEndpoints(const std::string &text) {
  std::vector<Endpoint> endpoints;
  std::ranges::transform(splitWords(text), std::back_inserter(endpoints),
                         parseEndpoint);
  return endpoints;
}

StreamPlan toStream(std::string name, const SettingSection &values) {
  StreamPlan stream;
  stream.Name = std::move(name);
  stream.CallerKey = values.text("caller_key");
  stream.Services = splitWords(values.text("services"));
  stream.Rate = static_cast<double>(values.integer("rate"));
  stream.SurgeRate = static_cast<double>(values.integer("surge_rate"));
  stream.SurgeStart = values.duration("surge_from");
  stream.SurgeEnd = values.duration("surge_until");
  stream.Keys = static_cast<std::uint64_t>(values.integer("keys"));
  stream.HotKeys = static_cast<std::uint64_t>(values.integer("hot_keys"));
  stream.HotPercent = static_cast<int>(values.integer("hot_share"));
  stream.HotPeriod = values.duration("hot_period");
  stream.WritePercent = static_cast<int>(values.integer("write_share"));
  stream.ResendPercent = static_cast<int>(values.integer("resend_share"));
  stream.RequiresCorrectShare = values.boolean("must_be_served");
  return stream;
}

void readLoadSettings(LoadPlan &plan, const SettingSection &values) {
  plan.Routers = splitEndpoints(values.text("routers"));
  plan.UpstreamRecordEndpoints =
      splitEndpoints(values.text("upstream_records"));
  plan.Length = values.duration("length");
  plan.Deadline = values.duration("deadline");
  plan.ClientLatency = values.duration("client_latency");
  plan.MinCorrectPerMille = static_cast<int>(values.integer("min_right"));
  plan.Seed = static_cast<std::uint64_t>(values.integer("seed"));
}

} // namespace

absl::StatusOr<LoadPlan> parseLoadPlan(const std::string &text,
                                       const std::string &source) {
  const auto document = parseIni(text, source);
  if (!document.ok())
    return document.status();
  LoadPlan plan;
  const auto load = readSection(LoadSettingTable, "load", *document, "load");
  if (!load.ok())
    return load.status();
  readLoadSettings(plan, *load);
  for (const IniSection &section : document->Sections) {
    if (section.Name == "load")
      continue;
    if (!section.Name.starts_with(StreamSectionPrefix))
      return absl::InvalidArgumentError(fmt::format(
          "{}:{}: unknown section [{}]; allowed: [load], [stream NAME]", source,
          section.Line, section.Name));
    const auto values =
        readSection(LoadSettingTable, "stream", *document, section.Name);
    if (!values.ok())
      return values.status();
    plan.Streams.push_back(
        toStream(section.Name.substr(StreamSectionPrefix.size()), *values));
  }
  return plan;
}

} // namespace waxwing

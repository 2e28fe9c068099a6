// The validator of settings files.
#include "protocol/Settings.h"

#include "protocol/JsonReader.h"
#include "protocol/NetworkAddress.h"
#include "protocol/SettingsFile.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace Ebonystack {
namespace {

using Json = nlohmann::json;

void readAddress(JsonObjectReader& reader, std::string_view key, std::string& target)
{
    reader.text(key, target, { 1, 64 });
    if (!target.empty() && !isNetworkAddress(target))
        reader.addProblem(ResultCode::FieldOutOfRange, key, networkAddressAdvice);
}

void readLimits(const Json& json, const std::string& path, ConnectionLimits& limits, Problems& problems)
{
    JsonObjectReader reader(json, path, problems);
    reader.integer("callerConnections", limits.callerConnections, { 1, 100'000 }, Presence::Optional);
    reader.integer("headerBytes", limits.headerBytes, { 1024, 1 << 20 }, Presence::Optional);
    reader.integer("bodyBytes", limits.bodyBytes, { 0, 1ULL << 40 }, Presence::Optional);
    reader.milliseconds("headerTimeoutMs", limits.headerTimeout, { 10, 600'000 }, Presence::Optional);
    reader.milliseconds("idleTimeoutMs", limits.idleTimeout, { 10, 3'600'000 }, Presence::Optional);
    reader.milliseconds("stallTimeoutMs", limits.stallTimeout, { 10, 600'000 }, Presence::Optional);
    reader.finish();
}

void readTls(const Json& json, const std::string& path, PeerTls& tls, Problems& problems)
{
    JsonObjectReader reader(json, path, problems);
    reader.boolean("plain", tls.plain, Presence::Optional);
    const Presence presence = tls.plain ? Presence::Optional : Presence::Required;
    reader.text("certificateFile", tls.certificateFile, { 1, 4096 }, presence);
    reader.text("privateKeyFile", tls.privateKeyFile, { 1, 4096 }, presence);
    reader.text("authorityFile", tls.authorityFile, { 1, 4096 }, presence);
    reader.finish();
}

void readPlatformAddresses(JsonObjectReader& reader, Settings& settings, Problems& problems)
{
    reader.array("platformAddresses",
        [&](const Json& item, const std::string& path) {
            if (!item.is_string() || !isNetworkAddress(item.get_ref<const std::string&>()))
                problems.push_back({ ResultCode::FieldOutOfRange, path, networkAddressAdvice });
            else
                settings.platformAddresses.push_back(item.get<std::string>());
        },
        { 1, 16 });
}

SeedPeer readSeedPeer(const Json& json, const std::string& path, Problems& problems)
{
    SeedPeer seed;
    JsonObjectReader reader(json, path, problems);
    reader.text("vm", seed.vm.text);
    readAddress(reader, "address", seed.address);
    reader.finish();
    return seed;
}

void readSeedPeers(JsonObjectReader& reader, Settings& settings, Problems& problems)
{
    reader.array(
        "seedPeers",
        [&](const Json& item, const std::string& path) {
            settings.seedPeers.push_back(readSeedPeer(item, path, problems));
        },
        { 0, 16 }, Presence::Optional);
}

void readLogLevel(JsonObjectReader& reader, std::string& level)
{
    constexpr auto levels = std::to_array<std::string_view>({ "debug", "info", "warning", "error" });
    reader.text("logLevel", level, {}, Presence::Optional);
    if (std::ranges::find(levels, level) == levels.end())
        reader.addProblem(ResultCode::FieldOutOfRange, "logLevel", "must be debug, info, warning or error");
}

} // namespace

tl::expected<Settings, Problems> parseSettings(std::string_view text)
{
    Problems problems;
    const auto json = parseDocument(text, problems);
    if (!json)
        return tl::make_unexpected(std::move(problems));
    Settings settings;
    JsonObjectReader reader(*json, "", problems);
    reader.text("vm", settings.vm.text);
    reader.text("dataCentre", settings.dataCentre.text);
    reader.text("service", settings.service.text);
    readAddress(reader, "callerAddress", settings.callerAddress);
    readAddress(reader, "subCallAddress", settings.subCallAddress);
    readAddress(reader, "peerAddress", settings.peerAddress);
    readAddress(reader, "adminAddress", settings.adminAddress);
    readAddress(reader, "upstreamAddress", settings.upstreamAddress);
    readPlatformAddresses(reader, settings, problems);
    readSeedPeers(reader, settings, problems);
    reader.integer("threads", settings.threads, { 1, 64 }, Presence::Optional);
    readLogLevel(reader, settings.logLevel);
    reader.milliseconds("drainTimeoutMs", settings.drainTimeout, { 100, 3'600'000 }, Presence::Optional);
    reader.object(
        "limits",
        [&](const Json& item, const std::string& path) { readLimits(item, path, settings.limits, problems); },
        Presence::Optional);
    reader.object("peerTls",
        [&](const Json& item, const std::string& path) { readTls(item, path, settings.peerTls, problems); });
    reader.finish();
    if (!problems.empty())
        return tl::make_unexpected(std::move(problems));
    return settings;
}

tl::expected<Settings, Problems> loadSettings(const std::string& file)
{
    const auto text = readSettingsFile(file);
    if (!text)
        return tl::make_unexpected(text.error());
    return parseSettings(*text);
}

} // namespace Ebonystack

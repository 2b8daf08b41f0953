#include "gateway/roster_client.h"

namespace copperfront {
namespace {

constexpr Duration kStoreDelay{200000};  // changes within this time are written together

}  // namespace

RosterClient::RosterClient(Loop& loop, const GatewayTerms& terms, rpc::Hello hello, OnList on_list,
                           std::function<void()> on_list_failed, Log& log)
    : loop_(loop),
      address_(terms.roster),
      bounds_{terms.bounds.max_line_bytes, terms.bounds.max_unsent_bytes},
      reconnect_delay_(terms.bounds.roster_reconnect_delay),
      answer_timeout_(terms.bounds.server_silence_timeout),
      list_on_request_(terms.core.ask_for_list),
      hello_(std::move(hello)),
      on_list_(std::move(on_list)),
      on_list_failed_(std::move(on_list_failed)),
      log_(log),
      store_(terms.state_folder),
      reconnect_timer_(loop, [this] { connect_to_roster(); }),
      answer_timer_(loop, [this] { handle_lost_connection("no answer in time"); }),
      store_timer_(loop, [this] {
          rpc::RosterUpdate snapshot{version_, true, {}};
          for (const auto& [server, entry] : list_) snapshot.entries.push_back(entry);
          std::string error;
          if (!store_.write(snapshot, error))
              log_.log(Severity::error, "roster", "the list of servers cannot be kept for the next start",
                       {{"error", error}});
      }) {}

RosterClient::~RosterClient() { LineConnection::detach_and_close(loop_, std::move(connection_), false); }

void RosterClient::start() {
    std::string error;
    const auto last = store_.read(error);
    if (!error.empty())
        log_.log(Severity::error, "roster", "the list of the last run is damaged", {{"error", error}});
    std::vector<rpc::RosterEntry> entries;
    if (last) {
        for (const rpc::RosterEntry& e : last->entries) list_[e.server] = e;
        entries = last->entries;
        log_.log(Severity::info, "roster", "starts with the stored server list of the last run",
                 {{"servers", static_cast<std::int64_t>(entries.size())},
                  {"version", static_cast<std::int64_t>(last->version)}});
    }
    on_list_(entries, true, true);
    if (!address_.empty()) connect_to_roster();
}

void RosterClient::replay_list() {
    std::vector<rpc::RosterEntry> entries;
    for (const auto& [server, entry] : list_) entries.push_back(entry);
    on_list_(entries, true, !synced_);
}

void RosterClient::stop() {
    reconnect_timer_.cancel();
    answer_timer_.cancel();
    if (store_timer_.is_set()) store_timer_.set(Duration{0});
    LineConnection::detach_and_close(loop_, std::move(connection_), false);
}

void RosterClient::request_list() {
    list_requested_ = true;
    if (initialized_) send_watch();
}

void RosterClient::connect_to_roster() {
    initialized_ = synced_ = false;
    connection_ = LineConnection::dial(loop_, Address::parse(address_), bounds_, *this);
    answer_timer_.set(answer_timeout_);
}

void RosterClient::connection_opened(LineConnection& connection) {
    connection.send(rpc::hello_line(rpc::Id{std::string("hello")}, hello_));
}

void RosterClient::send_watch() {
    connection_->send(rpc::request_line(rpc::Id{++last_watch_id_}, rpc::kWatch, {{"version", version_}}));
    answer_timer_.set(answer_timeout_);
}

void RosterClient::line_received(LineConnection&, std::string_view line) {
    auto parsed = rpc::parse(line);
    const auto* m = std::get_if<rpc::Message>(&parsed);
    if (!m) return handle_lost_connection("invalid message: " + std::get<rpc::InvalidMessage>(parsed).text);
    if (m->kind == rpc::MessageKind::request && m->method == rpc::kPing) {
        connection_->send(rpc::result_line(m->id, rpc::Json::object()));
        return;
    }
    if (m->kind == rpc::MessageKind::error)
        return handle_lost_connection("the roster returned an error: " + m->text);
    if (m->kind == rpc::MessageKind::result && m->id == rpc::Id{std::string("hello")}) {
        initialized_ = true;
        answer_timer_.cancel();
        if (!list_on_request_ || list_requested_) send_watch();
        return;
    }
    const bool is_answer = m->kind == rpc::MessageKind::result && m->id == rpc::Id{last_watch_id_};
    if (!is_answer && !(m->kind == rpc::MessageKind::notification && m->method == rpc::kRosterChanged))
        return;
    auto update = rpc::read_roster_update(m->body);
    if (const auto* problem = std::get_if<std::string>(&update))
        return handle_lost_connection("invalid list update: " + *problem);
    if (is_answer) {
        answer_timer_.cancel();
        synced_ = true;
    }
    apply(std::get<rpc::RosterUpdate>(update));
}

void RosterClient::apply(const rpc::RosterUpdate& update) {
    if (!synced_) return;
    if (!update.is_snapshot && update.version != version_ + 1) {
        // An update was lost or an old one was repeated; only a full snapshot is reliable now.
        log_.log(Severity::warn, "roster", "a gap in the news; asks for the whole list",
                 {{"have", static_cast<std::int64_t>(version_)},
                  {"came", static_cast<std::int64_t>(update.version)}});
        version_ = 0;
        send_watch();
        return;
    }
    version_ = update.version;
    if (update.is_snapshot) list_.clear();
    for (const rpc::RosterEntry& e : update.entries) {
        if (e.status == ServerStatus::removed)
            list_.erase(e.server);
        else
            list_[e.server] = e;
    }
    store_timer_.set(kStoreDelay);
    on_list_(update.entries, update.is_snapshot, false);
}

void RosterClient::connection_closed(LineConnection&, CloseReason, const std::string& what) {
    handle_lost_connection(what);
}

void RosterClient::handle_lost_connection(const std::string& reason) {
    log_.log(
        Severity::warn, "roster", "the roster is lost; goes on with the list in hand",
        {{"error", reason}, {"address", address_}, {"servers", static_cast<std::int64_t>(list_.size())}});
    answer_timer_.cancel();
    LineConnection::detach_and_close(loop_, std::move(connection_), false);
    const bool awaiting_list = list_on_request_ && list_requested_ && !synced_;
    initialized_ = synced_ = false;
    reconnect_timer_.set(reconnect_delay_);
    if (awaiting_list) on_list_failed_();
}

}  // namespace copperfront

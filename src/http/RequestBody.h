#pragma once

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <string>

namespace crocuslever {

/// Body of a request as a string that grows with the bytes received, not to the length that the client announces.
struct RequestBody {
    using value_type = std::string;

    class reader { // NOLINT(readability-identifier-naming): Beast requires this name.
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& ec)
        {
            m_length = length;
            ec = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& ec)
        {
            // Small steps keep the unused memory of unfinished bodies small; few of them are needed for a legal body.
            constexpr std::size_t kStepBytes = 32768;
            ec = {};
            std::size_t n = 0;
            for (const boost::asio::const_buffer& it : boost::beast::buffers_range_ref(buffers)) {
                std::size_t needed = m_body.size() + it.size();
                if (needed > m_body.capacity())
                    m_body.reserve(m_length ? std::min<std::size_t>(std::max<std::size_t>(needed, *m_length), needed + kStepBytes) : needed + kStepBytes);
                m_body.append(static_cast<const char*>(it.data()), it.size());
                n += it.size();
            }
            return n;
        }

        void finish(boost::beast::error_code& ec) { ec = {}; }

    private:
        value_type& m_body;
        boost::optional<std::uint64_t> m_length;
    };
};

} // namespace crocuslever

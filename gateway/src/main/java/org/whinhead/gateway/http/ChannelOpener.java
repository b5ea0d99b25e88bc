package org.whinhead.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Opens connections to one server. */
public interface ChannelOpener {

    /**
     * Opens a connection.
     *
     * @param handlers creates the handler of a connection
     * @param opened receives the open connection
     * @param failed receives the reason if no connection can be made
     */
    void open(Supplier<ChannelHandler> handlers, Consumer<Channel> opened, Consumer<String> failed);
}

package io.anvilpick.calls;

import io.anvilpick.config.ServiceConfig;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.Dispatcher;

/** A request together with what the configuration says of it. */
record ServiceCall(CallRequest request, ServiceConfig service, Call call, Dispatcher dispatcher) {}

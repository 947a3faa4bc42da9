package io.anvilpick.calls;

import io.anvilpick.config.ServiceConfig;
import io.anvilpick.dispatch.Call;
import io.anvilpick.dispatch.Dispatcher;

/** A request together with its configuration and dispatcher. */
record ServiceCall(CallRequest request, ServiceConfig service, Call call, Dispatcher dispatcher) {}

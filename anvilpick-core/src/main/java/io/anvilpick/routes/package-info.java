/**
 * Routes requests by host and longest path prefix to weighted services. Begin with
 * {@link io.anvilpick.routes.RouteTable} and {@link io.anvilpick.routes.RouteConfiguration}.
 */
@NullMarked
package io.anvilpick.routes;

import org.jspecify.annotations.NullMarked;
